"""Identifiers shared by all packages."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
Address = NewType("Address", str)
"""`host:port` with an IP number for a host; the same port serves UDP and TCP."""

ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
PolicyName = NewType("PolicyName", str)
ChangeId = NewType("ChangeId", str)
ContentHash = NewType("ContentHash", str)
LeaseId = NewType("LeaseId", int)
Version = NewType("Version", int)
Revision = NewType("Revision", int)

NO_VERSION = Version(0)
NO_REVISION = Revision(0)
