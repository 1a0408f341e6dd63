"""Microkernel: starts and stops the services of a process, which find each other by name."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import anyio
from anyio.abc import TaskGroup

from godwitpass.errors import GodwitpassError

T = TypeVar("T")


class KernelError(GodwitpassError):
    """A service is missing, has another type, or was registered twice."""


class Service(Protocol):
    """A service that the kernel starts and stops."""

    async def start(self, tasks: TaskGroup) -> None:
        """Start, and return once the service is usable; background tasks go into `tasks`."""
        ...

    async def stop(self) -> None:
        """Finish work in progress and release resources.

        Called once, in the reverse order of the starts.
        """
        ...


class Kernel:
    """Registers the services of one process and runs them.

    >>> kernel = Kernel()
    >>> kernel.find("store", object)
    Traceback (most recent call last):
    ...
    godwitpass_daemon.kernel.KernelError: no service 'store'; registered: none
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._stop_requested = anyio.Event()

    def register(self, name: str, build: Callable[["Kernel"], Service]) -> None:
        """Build a service and register it under `name`; services start in this order."""
        if name in self._services:
            raise KernelError(f"service {name!r} is registered twice")
        self._services[name] = build(self)

    def is_registered(self, name: str) -> bool:
        """Return whether a service called `name` is registered."""
        return name in self._services

    def find(self, name: str, service_type: type[T]) -> T:
        """Return the service called `name`, which must be an instance of `service_type`."""
        service = self._services.get(name)
        if service is None:
            registered_names = ", ".join(sorted(self._services)) or "none"
            raise KernelError(f"no service {name!r}; registered: {registered_names}")
        if not isinstance(service, service_type):
            raise KernelError(
                f"service {name!r} is a {type(service).__name__}, not a {service_type.__name__}"
            )
        return service

    def request_stop(self) -> None:
        """Ask `run` to stop every service and return."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Start all services, wait for a stop request, then stop them in reverse order."""
        async with anyio.create_task_group() as tasks:
            started_services: list[Service] = []
            try:
                for service in self._services.values():
                    await service.start(tasks)
                    started_services.append(service)
                await self._stop_requested.wait()
            finally:
                with anyio.CancelScope(shield=True):
                    for service in reversed(started_services):
                        await service.stop()
                tasks.cancel_scope.cancel()
