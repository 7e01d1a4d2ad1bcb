package org.cranberrybend.experiment.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.wire.generated.Envelope;

/** Frames as a daemon at the design size sends them, with all fields that the transport and the node set. */
final class Frames {
    /** Size of the length prefix of a frame. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private static final String DIGEST = CanonicalJson.digestHex("frames").substring(0, 16);

    private Frames() {}

    static Envelope withCommonFields(Envelope.Builder frame) {
        return frame.setSender("entry-szeged-a-0042/router")
                .setIncarnation(1_700_000_000_000L)
                .setHlcWallMs(1_700_000_123_456L)
                .setHlcCounter(1)
                .setCorrelationId(1_000_000)
                .setConfigurationRevision(10_000_000)
                .setConfigurationDigest(DIGEST)
                .setStoreConfirmedAgeMs(1_500)
                .build();
    }

    static int bytes(Envelope.Builder frame) {
        return withCommonFields(frame).getSerializedSize() + LENGTH_PREFIX_BYTES;
    }

    /** Encodes and decodes a frame, as sender and receiver do. */
    static Envelope transfer(Envelope.Builder frame) {
        try {
            return Envelope.parseFrom(withCommonFields(frame).toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("cannot decode an encoded frame", e);
        }
    }
}
