package org.cranberrybend.wire.transport;

import java.util.Locale;
import org.cranberrybend.wire.generated.Envelope;

/** What traffic over the link between regions is for. */
enum LinkPurpose {
    /** Membership, keep-alives and demand reports. */
    CONTROL,
    /** Requests for slots, grants and releases. */
    SLOTS,
    /** Configuration, revocations and the upstream table. */
    CONFIGURATION,
    /** Usage counters. */
    USAGE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    static LinkPurpose of(Envelope.BodyCase bodyCase) {
        switch (bodyCase) {
            case SLOT_REQUEST:
            case SLOT_GRANT:
            case SLOT_REFUSAL:
            case SLOT_RELEASE:
            case SLOT_CANCEL:
            case SLOTS_IN_USE_QUERY:
            case SLOTS_IN_USE:
                return SLOTS;
            case CONFIGURATION_DELTA:
            case CONFIGURATION_REQUEST:
            case CONFIGURATION_SNAPSHOT:
            case REVOCATION_UPDATE:
            case UPSTREAM_TABLE:
                return CONFIGURATION;
            case USAGE_FLUSH:
            case USAGE_ACK:
                return USAGE;
            default:
                return CONTROL;
        }
    }

    /** Returns whether frames of a type wait for the byte budget of the link; all others are sent at once. */
    static boolean isCapped(Envelope.BodyCase bodyCase) {
        return bodyCase == Envelope.BodyCase.CONFIGURATION_SNAPSHOT
                || bodyCase == Envelope.BodyCase.UPSTREAM_TABLE
                || bodyCase == Envelope.BodyCase.USAGE_FLUSH;
    }
}
