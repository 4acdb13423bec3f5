"""Encoders and decoders of the wire protocols: pure functions and incremental parsers without Twisted or a clock."""
