"""A micro-kernel: starts and stops named services, which find each other by name."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import anyio
from anyio.abc import TaskGroup

from godwitpass.errors import GodwitpassError

T = TypeVar("T")


class KernelError(GodwitpassError):
    """A service was looked up or registered wrongly."""


class Service(Protocol):
    """Something the kernel starts and stops."""

    async def start(self, tasks: TaskGroup) -> None:
        """Become usable, then return; background work goes into `tasks`."""
        ...

    async def stop(self) -> None:
        """Finish work in progress and release resources; called once, in reverse order."""
        ...


class Kernel:
    """Holds the services of one process.

    >>> kernel = Kernel()
    >>> kernel.find("store", object)
    Traceback (most recent call last):
    ...
    godwitpass_daemon.kernel.KernelError: no service 'store'; registered: none
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._stopping = anyio.Event()

    def register(self, name: str, build: Callable[["Kernel"], Service]) -> None:
        """Build a service and keep it under `name`; services start in this order."""
        if name in self._services:
            raise KernelError(f"service {name!r} is registered twice")
        self._services[name] = build(self)

    def is_registered(self, name: str) -> bool:
        """Tell whether a service called `name` is registered."""
        return name in self._services

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service called `name`, which must be a `kind`."""
        service = self._services.get(name)
        if service is None:
            known = ", ".join(sorted(self._services)) or "none"
            raise KernelError(f"no service {name!r}; registered: {known}")
        if not isinstance(service, kind):
            raise KernelError(f"service {name!r} is a {type(service).__name__}")
        return service

    def request_stop(self) -> None:
        """Ask `run` to stop every service and return."""
        self._stopping.set()

    async def run(self) -> None:
        """Start all services, wait for a stop request, stop them in reverse order."""
        async with anyio.create_task_group() as tasks:
            started: list[Service] = []
            try:
                for service in self._services.values():
                    await service.start(tasks)
                    started.append(service)
                await self._stopping.wait()
            finally:
                with anyio.CancelScope(shield=True):
                    for service in reversed(started):
                        await service.stop()
                tasks.cancel_scope.cancel()
