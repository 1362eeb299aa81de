#pragma once

#include <string_view>
#include <vector>

namespace vanillaspar
{

/** Numbers of the log events; docs/events.md describes them. */
enum class EventCode
{
    NodeStarted = 100,
    NodeJoined = 101,
    NodeDraining = 102,
    NodeDrained = 103,
    ChildRestarted = 104,
    SettingsReloaded = 105,
    SettingsRejected = 106,
    ProcessFailed = 107,
    ConfigInForce = 200,
    ConfigRejected = 201,
    ConfigUnconfirmed = 202,
    ConfigOutdated = 203,
    StoreRestored = 204,
    RecordMissing = 205,
    LeaseAcquired = 300,
    LeaseLost = 301,
    PauseDetected = 302,
    PeerFenced = 303,
    PeerRemoved = 304,
    PlatformUnreachable = 310,
    PlatformReachable = 311,
    StoreRecordRejected = 312,
    HostListChanged = 313,
    OwnersAssigned = 314,
    ReplicaTakenOver = 400,
    ReplicaReleased = 401,
    ReplicaRestarted = 402,
    ReplicaUnreachable = 403,
    ReplicaLeaving = 404,
    ReplicaPaused = 405,
    PromptPartSuspected = 406,
    PromptPartBlocked = 407,
    PromptPartLifted = 408,
    PromptPartRestricted = 409,
    AdapterLoaded = 410,
    AdapterUnloaded = 411,
    LoadFailed = 412,
    ModelOrdered = 413,
    OrderFailed = 414,
    VersionAnnounced = 415,
    ReplicaCold = 416,
    ColdStateUnknown = 417,
    EvacuationBegun = 418,
    EvacuationEnded = 419,
    OwnershipSuspended = 420,
    ReplicaSlow = 421,
    ReplicaRecovered = 422,
    RelaySource = 424,
    RelayUnanswered = 425,
    AnswerDropped = 500,
    RequestRefused = 501,
    RequestRetried = 502,
    ClaimUncertain = 503,
    RequestServed = 504,
    RequestFailed = 505,
    CallerLeft = 506,
    RequestResent = 507,
    AttemptBroken = 508,
    AnswerUnbounded = 509,
    AnswerOutdated = 510,
    RequestWithdrawn = 511,
    RequestUnanswered = 512,
    OverloadBegan = 516,
    OverloadEnded = 517,
    CallersGivenUp = 520,
    MessageRejected = 600,
    LinesDropped = 601,
};

/** Severity of an event. */
enum class Severity
{
    Info,
    Warning,
    Error,
};

/** Catalogue entry of an event. */
struct EventEntry
{
    EventCode code;
    Severity severity;
    std::string_view name;
};

/** @return all events in ascending order of their numbers. */
const std::vector<EventEntry> &eventCatalogue();

/** @return the catalogue entry of @p code; the first entry if it has none. */
const EventEntry &eventEntry(EventCode code);

}
