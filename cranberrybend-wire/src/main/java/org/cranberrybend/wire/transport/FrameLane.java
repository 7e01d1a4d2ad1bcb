package org.cranberrybend.wire.transport;

import org.cranberrybend.wire.generated.Envelope;

/**
 * Groups the message types that share worker threads and a connection, so that slow or large messages do not delay the
 * probes, whose delay would make a member suspect.
 */
enum FrameLane {
    /** Probes and member lists. A probe on behalf of another member blocks its thread until it is answered. */
    MEMBERSHIP(4, false),
    /** Slots, configuration changes and revocations. */
    CONTROL(4, false),
    /** Large messages, and the requests whose responses are large, since a response uses its request's connection. */
    BULK(2, true),
    /** Responses; apart from the requests, whose handlers may wait for a response. */
    RESPONSE(2, false);

    private final int threadCount;
    private final boolean bulk;

    FrameLane(int threadCount, boolean bulk) {
        this.threadCount = threadCount;
        this.bulk = bulk;
    }

    int threadCount() {
        return threadCount;
    }

    /** Returns whether the frames use the connection for large messages. */
    boolean isBulk() {
        return bulk;
    }

    /** Returns the lane of a one-way message or request. */
    static FrameLane of(Envelope.BodyCase bodyCase) {
        switch (bodyCase) {
            case HELLO:
            case PING:
            case PING_REQUEST:
            case ACK:
            case MEMBER_UPDATES:
            case BODY_NOT_SET:
                return MEMBERSHIP;
            case CONFIGURATION_REQUEST:
            case CONFIGURATION_SNAPSHOT:
            case UPSTREAM_TABLE:
            case USAGE_FLUSH:
            case USAGE_ACK:
                return BULK;
            default:
                return CONTROL;
        }
    }
}
