"""Conversion of decoded JSON to :class:`~starlingwick.interface.Settings`.

The simulator sends this JSON when it starts an instance; the configuration file of a relay has the same JSON
under the key ``settings``.
"""

from __future__ import annotations

from typing import Any

from starlingwick import interface as io


class SettingsError(ValueError):
    """A setting is missing or has an invalid value."""


def parse_settings(data: Any) -> io.Settings:
    """Return the settings that a decoded JSON object contains.

    Unknown keys are ignored. Raises SettingsError if a required key is missing or a value is invalid.
    """
    if not isinstance(data, dict):
        raise SettingsError(f"the settings are a {type(data).__name__}, not an object")
    try:
        return _convert_settings(data)
    except KeyError as error:
        raise SettingsError(f"setting {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(str(error)) from None


def _convert_settings(data: dict[str, Any]) -> io.Settings:
    family_info, rules, limits = data["familyInfo"], data["rules"], data["limits"]
    separate_routes_by_kind = family_info.get("kindApart", [])
    max_batch_size_by_kind = family_info.get("perCall", [])
    kinds = max(len(data.get("kinds", [])), len(separate_routes_by_kind), len(max_batch_size_by_kind), 1)
    return io.Settings(
        relays=int(data["balancers"]),
        max_calls=int(family_info["callsOut"]),
        tick=int(data.get("tick", 0)),
        zone=int(data.get("zone", 0)),
        discovery=io.DiscoveryMode(data["discovery"]),
        uses_listed_rates=data.get("weightSource", "off") != "off",
        value_decay=io.ValueDecay(family_info.get("decay", "even")),
        classes=tuple(
            io.MessageClass(
                target_latency=int(message_class["aim"]),
                deadline=int(message_class["deadline"]),
                value=float(message_class.get("worth", 1.0)),
                late_value=float(message_class.get("lateWorth", 0.0)),
                idempotency=io.Idempotency(message_class["idempotency"]),
                key_scope=io.KeyScope(message_class.get("keyScope", "cell")),
                deduplication_window=int(message_class.get("repeatWindow", 0)),
                ordered=bool(message_class.get("inTurn", False)),
            )
            for message_class in data["classes"]
        ),
        kinds=tuple(
            io.DestinationKind(
                separate_routes=bool(separate_routes_by_kind[k])
                if k < len(separate_routes_by_kind)
                else False,
                max_batch_size=int(max_batch_size_by_kind[k]) if k < len(max_batch_size_by_kind) else 1,
            )
            for k in range(kinds)
        ),
        tenant_quotas=tuple(float(tenant.get("quotaPerS", 0.0)) for tenant in data.get("tenants", [])),
        over_quota_value=float(data.get("overShareWorth", 1.0)),
        zone_fees=tuple(float(fee) for fee in family_info.get("feeByZone", [])),
        throttled_price=float(family_info.get("refusedPrice", 0.0)),
        prices={str(k): float(v) for k, v in data.get("prices", {}).items()},
        rules=io.Rules(
            answer_slack=int(rules.get("answerSlack", 0)),
            discovery_interval=int(rules.get("askEvery", 0)),
            drain_grace=int(rules.get("drainGrace", 0)),
            overload_window=int(rules["fall"]),
            overload_multiple=float(rules["fallMultiple"]),
            slow_start_duration=int(rules["rampTime"]),
            slow_start_initial_share=float(rules["startCapacity"]),
            ordering_gap=int(rules.get("turnGap", 0)),
        ),
        limits=io.Limits(
            cancel=bool(limits.get("cancel", False)),
            probes=bool(limits.get("probes", False)),
            peers=bool(limits.get("peers", False)),
            hedging=bool(limits.get("secondCopies", False)),
            retry_after=bool(limits.get("retryAfter", False)),
            max_held=int(limits["mostHeld"]),
            max_attempts=int(limits["mostTries"]),
            max_retry_after=int(limits.get("maxRetryAfter", 0)),
            connect_timeout=int(limits.get("connectTimeout", 0)),
            connection_idle_timeout=int(limits.get("connIdle", 0)),
        ),
    )
