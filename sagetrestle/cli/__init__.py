"""The command line: ``python -m sagetrestle COMMAND``. Without a command the platform's scorer starts.

One module a group of commands; each imports its subject only when it is called.
"""
