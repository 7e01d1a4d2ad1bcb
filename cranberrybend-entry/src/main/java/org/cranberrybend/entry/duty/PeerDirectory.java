package org.cranberrybend.entry.duty;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

/** Control addresses of the other instances of the fleet. */
public interface PeerDirectory {
    /** Returns the addresses of all other instances, the most recently registered ones last. */
    Set<InetSocketAddress> peerAddresses();

    /** Returns the addresses of the other registered instances of this region. */
    Set<InetSocketAddress> regionalAddresses();

    /** Returns the address of the leader of this availability zone; empty if this instance is the leader. */
    Optional<InetSocketAddress> zoneLeader();
}
