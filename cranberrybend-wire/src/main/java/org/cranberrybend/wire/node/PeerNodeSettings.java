package org.cranberrybend.wire.node;

import java.util.List;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.MembershipSettings;

/**
 * Settings of a process as a member of the fleet.
 *
 * @param identity identity of this incarnation of the process
 * @param host address on which peers reach this process
 * @param peerPort port that listens for peers; 0 for an ephemeral port
 * @param adminAddress address of the admin port, {@code host:port}
 * @param seedAddresses peer addresses through which the process joins the fleet, {@code host:port}
 * @param membership timing of the membership protocol
 */
public record PeerNodeSettings(
        ProcessIdentity identity,
        String host,
        int peerPort,
        String adminAddress,
        List<String> seedAddresses,
        MembershipSettings membership) {
    public PeerNodeSettings {
        seedAddresses = List.copyOf(seedAddresses);
    }

    /** Creates settings with the default timing of the membership protocol. */
    public PeerNodeSettings(
            ProcessIdentity identity, String host, int peerPort, String adminAddress, List<String> seedAddresses) {
        this(identity, host, peerPort, adminAddress, seedAddresses, MembershipSettings.DEFAULT);
    }
}
