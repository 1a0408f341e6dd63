"""Documents, versions and decision logic of configuration distribution for a service mesh.

This package performs no I/O: it opens no socket, reads no clock and uses no global random state.
"""
