"""Documents, versions and decisions of a service mesh's configuration distribution.

This package is pure: it opens no socket, reads no clock and draws no global random number.
"""
