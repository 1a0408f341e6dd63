"""The path of calls over two daemons: the caller's and the one beside the upstream."""
