"""The real scorer: the decision module on real sockets."""
