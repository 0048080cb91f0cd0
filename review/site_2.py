"""The deployment head-office-send as WIRE and BRIEF show it, for one of its three couriers."""

SECOND = 1_000_000_000
FULL_LOAD_PER_S = 17  # 51 messages a second for 3 couriers.
ZONES, KINDS = ["hall-a", "hall-b", "hall-c"], ["bulk-partner", "partner"]
LIMITS = {"cores": 1.0, "memory_mb": 48, "sockets": 384, "disk_mb": 3}
# Name, effect, worth, aim, deadline, window for repeats, share of the worth at the deadline, share of the messages.
CLASSES = [("tile-update", "read_like", 1.0, 2, 16, 5, 0.5, 0.45),
           ("storm-alert", "idempotency_key", 2.0, 2, 28, 15, 0.4, 0.38),
           ("licence-payment", "non_idempotent", 5.0, 4, 28, 5, 0.5, 0.17)]
NAMES, SHARES = [name for name, *_ in CLASSES], [share for *_, share in CLASSES]
DEADLINES = {name: deadline for name, _, _, _, deadline, *_ in CLASSES}
EFFECTS = {name: effect for name, effect, *_ in CLASSES}
DESTINATIONS = 10
# The tenant that each destination belongs to, by the tenants' shares.
TENANTS = ["vidzeme-radars", "kurzeme-laiks", "vidzeme-radars", "latgale-meteo", "vidzeme-radars",
           "vidzeme-radars", "kurzeme-laiks", "latgale-meteo", "vidzeme-radars", "vidzeme-radars"]


def unsafe(effects):
    """The classes whose messages may not be repeated."""
    return {name for name, effect in effects.items() if effect == "non_idempotent"}


def lane(effects, name, _, worth, aim, deadline, window, late, __):
    return {"Name": name, "Effect": effects[name], "Group": "all", "Worth": worth, "Aim": aim * SECOND,
            "Deadline": deadline * SECOND, "RepeatWindow": window * SECOND, "LateShare": late, "Stream": False}


def settings(most_held=112, effects=EFFECTS):
    return {
        "Balancers": 3, "Family": "deliver", "Discovery": "push", "WeightSource": "rough", "WorthBy": "request",
        "Tick": 5_000_000, "Rank": 1, "Tier": 0, "Tiers": ["partner-systems"], "Locality": 1, "OverShareWorth": 0.2,
        "Zones": ZONES, "MachineTypes": KINDS, "ClientHabits": {"MarksRetry": True},
        "FamilyInfo": {"CallsOut": 7, "Decay": "halves", "FeeByZone": [0.0, 0.03, 0.06], "KindBatch": [10, 1],
                       "OwnLimits": [True, True], "RefusalCost": 0.0},
        "Lanes": [lane(effects, *row) for row in CLASSES],
        "Permissions": {"Cancel": True, "ConnIdle": 10 * SECOND, "ConnectTimeout": 1_500_000_000,
                        "CpuUsPerRequest": 0.0, "CpuUsPerS": 400_000, "MaxRetryAfter": 3 * SECOND, "MaxStreams": 8,
                        "MostHeld": most_held, "Peers": False, "Probes": True, "RetryAfter": True,
                        "SecondCopies": False, "SendCap": 12},
        "Projects": [{"Name": "vidzeme-radars", "Fraction": 0.54, "QuotaPerS": 25.0},
                     {"Name": "kurzeme-laiks", "Fraction": 0.24, "QuotaPerS": 11.0},
                     {"Name": "latgale-meteo", "Fraction": 0.22, "QuotaPerS": 10.0}],
        "Report": {"Fields": [], "Source": "silent"},
        "Rules": {"AnswerSlack": 20_000_000, "AskEvery": 10 * SECOND, "Cold": 11 * SECOND, "ColdFrom": 0.14,
                  "Fall": 2 * SECOND, "StopSendingWithin": 2 * SECOND, "TipMultiple": 2.5},
    }
