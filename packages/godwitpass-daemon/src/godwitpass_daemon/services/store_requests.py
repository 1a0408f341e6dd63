"""Performs the store requests of decision objects, and returns the answers as events."""

import msgspec

from godwitpass.errors import HistoryEnded, StoreOutcomeUnknown, StoreUnavailable
from godwitpass.internal.requests import (
    Answer,
    Confirm,
    Confirmed,
    Delete,
    EntriesRead,
    EntryRead,
    Get,
    List,
    Put,
    Request,
    RequestFailed,
    WriteDone,
)
from godwitpass.store import Store


async def perform_request(store: Store, request: Request) -> Answer:
    """Perform `request` and return its answer, which is `RequestFailed` after a failure."""
    try:
        return await _call_store(store, request)
    except HistoryEnded as error:
        return RequestFailed(request.tag, reason=str(error), is_history_ended=True)
    except StoreUnavailable as error:
        return RequestFailed(request.tag, reason=str(error))
    except (StoreOutcomeUnknown, msgspec.MsgspecError) as error:
        is_write = isinstance(request, Put | Delete)
        return RequestFailed(request.tag, is_outcome_unknown=is_write, reason=str(error))
    except Exception as error:
        # In a task of the kernel, an error that nobody expects would end the whole daemon.
        is_write = isinstance(request, Put | Delete)
        return RequestFailed(request.tag, is_outcome_unknown=is_write, reason=repr(error))


async def _call_store(store: Store, request: Request) -> Answer:
    match request:
        case Get():
            return EntryRead(request.tag, await store.get(request.key))
        case Put():
            result = await store.put(request.key, request.value, request.expected)
            return WriteDone(request.tag, result)
        case Delete():
            return WriteDone(request.tag, await store.delete(request.key, request.expected))
        case Confirm():
            return Confirmed(request.tag, await store.confirm(request.key, request.revision))
        case List():
            return EntriesRead(request.tag, await store.list(request.prefix))
        case _:
            found = await store.watch(request.prefix, request.after, request.timeout_s)
            return EntriesRead(request.tag, found)
