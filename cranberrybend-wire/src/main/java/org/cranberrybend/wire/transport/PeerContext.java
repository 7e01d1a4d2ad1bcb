package org.cranberrybend.wire.transport;

import org.cranberrybend.wire.generated.Envelope;

/** What the transport needs to know about this process, and what it reports about the others. */
public interface PeerContext {
    /** Fills in the sender, the clock and the configuration of a frame about to be sent. */
    void fillHeader(Envelope.Builder frame);

    /** Returns the first frame of a new connection. */
    Envelope.Builder hello();

    /** Called on a worker thread for each received frame, before its handler. */
    void observe(Envelope frame);

    /**
     * Returns whether a peer is known to be in another region.
     *
     * @param memberIdOrAddress member identifier or peer address
     */
    boolean isInOtherRegion(String memberIdOrAddress);
}
