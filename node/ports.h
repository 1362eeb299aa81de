#pragma once

namespace vanillaspar
{

class BackendLink;
class CallerLink;
class Clock;
class EventLog;
class MetricSink;
class ObjectApi;
class PeerLink;

/** The interfaces of a node to the outside. The daemon implements them with sockets, the tests with fakes. */
struct Ports
{
    const Clock &clock;
    ObjectApi &objects;
    PeerLink &peers;
    BackendLink &backends;
    CallerLink &callers;
    EventLog &log;
    MetricSink &metrics;
};

}
