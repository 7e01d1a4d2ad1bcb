package org.cranberrybend.wire.transport;

import org.cranberrybend.wire.generated.Envelope;

/** Supplies the header of outbound frames and receives that of inbound frames. */
public interface PeerContext {
    /** Sets sender, incarnation, clock and configuration state in the header of an outbound frame. */
    void fillHeader(Envelope.Builder frame);

    /** Returns the hello message, the first frame of an outbound connection. */
    Envelope.Builder hello();

    /** Processes the header of a received frame, on a worker thread before the handler runs. */
    void observe(Envelope frame);

    /**
     * Returns whether a peer is known to be in another region.
     *
     * @param memberIdOrAddress member identifier or peer address
     */
    boolean isInOtherRegion(String memberIdOrAddress);
}
