package org.cranberrybend.wire.transport;

import org.cranberrybend.wire.generated.Envelope;

/**
 * Message types that share worker threads and a connection. The lanes keep slow handlers and large messages from
 * delaying probes, since a member whose reply to a probe is late becomes suspect.
 */
enum FrameLane {
    /** Probes and member lists. The handler of an indirect probe blocks its thread until the target replies. */
    MEMBERSHIP(4, false),
    /** Slots, demand reports, configuration changes and revocations. */
    CONTROL(4, false),
    /** Large messages, and requests with large replies, since a reply uses the connection of its request. */
    BULK(2, true),
    /** Replies. They have their own threads because handlers in other lanes may block until a reply arrives. */
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

    /** Returns whether the frames use the connection for bulk traffic. */
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
