"""Mutations of what carries the shares of client accounts at stage services.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

SHARES = "camphorrun/pipeline/tests/test_account_shares.py"
GATEWAY_SHARES = "camphorrun/gateway/tests/test_account_shares.py"

SHARE_MUTATIONS = (
    Mutation(
        "shares: calls are divided among accounts",
        "camphorrun/pipeline/batches.py",
        "        if not has_rivals(groups):\n            return groups\n",
        "        if True:\n            return groups\n",
        SHARES,
    ),
    Mutation(
        "shares: an idle account banks no credit",
        "camphorrun/pipeline/account_shares.py",
        "self.finish_s.get(account, self.time_s) - self.time_s",
        "self.finish_s.get(account, 0.0) - self.time_s",
        SHARES,
    ),
    Mutation(
        "shares: idle accounts are removed",
        "camphorrun/pipeline/account_shares.py",
        "            del self.finish_s[account]\n",
        "            pass\n",
        SHARES,
    ),
    Mutation(
        "shares: pieces that no replica has worked on are refunded",
        "camphorrun/pipeline/batches.py",
        "        if not worked:\n",
        "        if False:\n",
        SHARES,
    ),
    Mutation(
        "shares: nothing changes without a long backlog",
        "camphorrun/pipeline/batches.py",
        "return self._divide(groups, now) if backlog_is_long else groups",
        "return self._divide(groups, now)",
        SHARES,
    ),
    Mutation(
        "shares: an account within its share does not wait for those over theirs",
        "camphorrun/pipeline/batches.py",
        "        if is_within and self._has_other_account(",
        "        if False and self._has_other_account(",
        SHARES,
    ),
    Mutation(
        "shares: late groups within a share keep a call that is left",
        "camphorrun/pipeline/batches.py",
        "            if group in served_late:\n",
        "            if False:\n",
        SHARES,
    ),
    Mutation(
        "shares: the wait of an account over its share is its own",
        "camphorrun/pipeline/forecasts.py",
        "        if not over_share:\n",
        "        if True:\n",
        SHARES,
    ),
    Mutation(
        "shares: the owner knows the account of a piece",
        "camphorrun/gateway/piece_orders.py",
        "        order.account,\n",
        '        "",\n',
        GATEWAY_SHARES,
    ),
)
