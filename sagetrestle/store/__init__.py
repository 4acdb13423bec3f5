"""What lasts on disk, behind small interfaces: the one package that owns files.

files: a file put in place whole, by one rename
keys: the key store of an issuer: ring and private keys
"""
