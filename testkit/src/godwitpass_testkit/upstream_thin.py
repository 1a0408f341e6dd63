"""Stand-in upstream: answers every call with its own name."""

import sys

import uvicorn


async def application(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
    """Answer with the instance's name and the path that was asked for."""
    if scope["type"] != "http":
        return
    more = True
    while more:
        more = (await receive()).get("more_body", False)
    body = f"{sys.argv[1]} {scope['path']}\n".encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def main() -> None:
    """Serve under the name and on the port given as arguments."""
    uvicorn.run(
        application, port=int(sys.argv[2]), log_level="warning", lifespan="off", access_log=False
    )


if __name__ == "__main__":
    main()
