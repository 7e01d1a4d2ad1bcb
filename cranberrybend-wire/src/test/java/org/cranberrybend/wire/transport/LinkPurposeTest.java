package org.cranberrybend.wire.transport;

import static com.google.common.truth.Truth.assertThat;

import org.cranberrybend.wire.generated.Envelope;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LinkPurposeTest {
    // Guards against large messages that bypass the byte budget of the link, and control messages that wait for it.
    @ParameterizedTest
    @CsvSource({
        "BODY_NOT_SET, CONTROL, false",
        "PING, CONTROL, false",
        "MEMBER_UPDATES, CONTROL, false",
        "DEMAND_REPORT, CONTROL, false",
        "SLOT_REQUEST, SLOTS, false",
        "SLOTS_IN_USE, SLOTS, false",
        "CONFIGURATION_DELTA, CONFIGURATION, false",
        "REVOCATION_UPDATE, CONFIGURATION, false",
        "CONFIGURATION_SNAPSHOT, CONFIGURATION, true",
        "UPSTREAM_TABLE, CONFIGURATION, true",
        "USAGE_FLUSH, USAGE, true",
        "USAGE_ACK, USAGE, false"
    })
    void purposeAndCap(Envelope.BodyCase bodyCase, LinkPurpose purpose, boolean capped) {
        assertThat(LinkPurpose.of(bodyCase)).isEqualTo(purpose);
        assertThat(LinkPurpose.isCapped(bodyCase)).isEqualTo(capped);
    }
}
