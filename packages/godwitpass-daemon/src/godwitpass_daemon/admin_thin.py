"""Administration API: takes documents from operators and tells what is held."""

import hmac
import uuid

import msgspec
from anyio.abc import TaskGroup

from godwitpass.document import Document
from godwitpass.errors import GodwitpassError, StoreUnavailable, VersionConflict
from godwitpass.ids import ChangeId
from godwitpass_daemon.edge_thin import respond
from godwitpass_daemon.listeners import Listener, Receive, Scope, Send
from godwitpass_daemon.services.acceptance import AcceptanceService
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.settings import Settings


class AdminService:
    """Serves the administration API."""

    def __init__(
        self,
        settings: Settings,
        acceptance: AcceptanceService,
        distribution: DistributionService,
    ) -> None:
        self._settings = settings
        self._acceptance = acceptance
        self._distribution = distribution
        self._listener: Listener | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Listen for operators."""
        self._listener = Listener(self._answer, self._settings.listen.admin)
        await self._listener.start(tasks)

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.stop()

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        given = dict(scope["headers"]).get(b"authorization", b"")
        if not hmac.compare_digest(given, b"Bearer " + self._settings.admin_token.encode()):
            await respond(send, 401, b"", [])
            return
        match scope["method"], scope["path"]:
            case "GET", "/v1/status":
                snapshot = self._distribution.snapshot()
                version = 0 if snapshot is None else snapshot.version
                await respond(send, 200, msgspec.json.encode({"version": version}), [])
            case "PUT", "/v1/document":
                await self._accept(receive, send)
            case _:
                await respond(send, 404, b"", [])

    async def _accept(self, receive: Receive, send: Send) -> None:
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        try:
            document = msgspec.json.decode(body, type=Document)
            accepted = await self._acceptance.accept(document, ChangeId(uuid.uuid4().hex), None)
        except msgspec.DecodeError as error:
            await respond(send, 400, str(error).encode(), [])
        except VersionConflict as error:
            await respond(send, 409, str(error).encode(), [])
        except StoreUnavailable as error:
            await respond(send, 503, str(error).encode(), [])
        except GodwitpassError as error:
            await respond(send, 500, str(error).encode(), [])
        else:
            await respond(send, 200, msgspec.json.encode(accepted), [])
