"""Findings about customers, apart from their names, which are checked like all names."""

from collections.abc import Iterable, Iterator

from godwitpass.document import Customer

CustomerFinding = tuple[int, str, str, str]
"""Index of the customer, the field concerned, the message and the remedy."""


def list_customer_findings(
    customers: Iterable[tuple[int, Customer]],
) -> Iterator[CustomerFinding]:
    """Yield the findings about `customers`, which are given with their indexes.

    Messages name customers, not keys: digests of short keys could be reversed by trial.
    """
    holders: dict[str, Customer] = {}
    for index, customer in customers:
        if not customer.key_digests:
            message, remedy = "no key identifies it", "add a key or remove the customer"
            yield index, "key_digests", message, remedy
        for digest in customer.key_digests:
            holder = holders.setdefault(digest, customer)
            if holder is not customer:
                message = f"a key is also held by {holder.name!r}, so it is valid for neither"
                yield index, "key_digests", message, "give each customer keys of its own"
        if len(set(customer.key_digests)) < len(customer.key_digests):
            yield index, "key_digests", "a key is listed twice", "remove one of the two"
        if customer.burst and not customer.rate_per_s:
            yield index, "burst", "a burst has no effect without a rate", "set rate_per_s"
