package org.cranberrybend.wire.transport;

import java.util.Locale;
import org.cranberrybend.wire.generated.Envelope;

/** Purpose of traffic over the inter-region link; a label of the link metrics. */
enum LinkPurpose {
    /** Membership, keep-alives and demand reports. */
    CONTROL,
    /** Slot requests, grants, refusals, releases and cancellations, and queries for slots in use. */
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

    /** Returns whether frames of a type are subject to the byte budget of the link; all others are sent at once. */
    static boolean isCapped(Envelope.BodyCase bodyCase) {
        return bodyCase == Envelope.BodyCase.CONFIGURATION_SNAPSHOT
                || bodyCase == Envelope.BodyCase.UPSTREAM_TABLE
                || bodyCase == Envelope.BodyCase.USAGE_FLUSH;
    }
}
