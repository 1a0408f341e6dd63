"""The peer transport: authenticated datagrams between daemons, and gRPC for large payloads."""

from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.peers.grpc_transport import TlsIdentity
from godwitpass_daemon.peers.transport import PeerTransport

__all__ = ["Channel", "Handler", "PeerTransport", "TlsIdentity"]
