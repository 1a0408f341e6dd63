"""Identifiers shared by all packages."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
Address = NewType("Address", str)
"""`host:port`, where the host is an IP address; the same port serves UDP and TCP."""

ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
PolicyName = NewType("PolicyName", str)
CustomerName = NewType("CustomerName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software of an upstream; empty if it reports none."""

ChangeId = NewType("ChangeId", str)
ContentHash = NewType("ContentHash", str)
LeaseId = NewType("LeaseId", int)
Version = NewType("Version", int)
"""Number of an accepted document; later versions have higher numbers."""

Revision = NewType("Revision", int)
"""Revision of an entry in the key-value store, or of the store itself."""

NO_VERSION = Version(0)
NO_REVISION = Revision(0)
