"""Messages between daemons: authenticated datagrams, and unary calls for large payloads."""

from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.peers.transport import PeerTransport
from godwitpass_daemon.peers.grpc_transport import TlsIdentity

__all__ = ["Channel", "Handler", "PeerTransport", "TlsIdentity"]
