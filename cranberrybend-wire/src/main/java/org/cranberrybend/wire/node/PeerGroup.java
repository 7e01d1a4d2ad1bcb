package org.cranberrybend.wire.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.cranberrybend.core.event.ProcessIdentity;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.transport.PeerMessenger;

/** Sends messages to all members, to the members of the own zone, or also to one relay in every other zone. */
final class PeerGroup {
    private final ProcessIdentity self;
    private final Supplier<List<Member>> members;
    private final PeerMessenger messenger;
    private final Random random;

    PeerGroup(ProcessIdentity self, Supplier<List<Member>> members, PeerMessenger messenger, Random random) {
        this.self = self;
        this.members = members;
        this.messenger = messenger;
        this.random = random;
    }

    PeerMessenger messenger() {
        return messenger;
    }

    Optional<Member> find(String memberId) {
        return members.get().stream()
                .filter(member -> member.id().equals(memberId))
                .findFirst();
    }

    boolean isInOwnZone(Member member) {
        return member.identity().zone().equals(self.zone());
    }

    /** Sends a message to all other members. */
    void sendToAll(Envelope.Builder message) {
        sendTo(others(), message);
    }

    /** Sends a message to the other members of this process's zone. */
    void sendToOwnZone(Envelope.Builder message) {
        sendTo(others().stream().filter(this::isInOwnZone).toList(), message);
    }

    /**
     * Sends a message to the other members of this process's zone and to one random member of every other zone. That
     * member forwards it within its zone, so that the inter-region link carries the message once per zone.
     */
    void sendToOwnZoneAndRelays(Envelope.Builder message) {
        List<Member> shuffled = new ArrayList<>(others());
        Collections.shuffle(shuffled, random);
        Set<String> reached = new HashSet<>();
        sendTo(
                shuffled.stream()
                        .filter(member -> isInOwnZone(member)
                                || reached.add(member.identity().zone()))
                        .toList(),
                message);
    }

    private List<Member> others() {
        return members.get().stream()
                .filter(member -> !member.id().equals(self.memberId()))
                .toList();
    }

    private void sendTo(List<Member> receivers, Envelope.Builder message) {
        for (Member receiver : receivers) {
            messenger.send(receiver.peerAddress(), message.clone());
        }
    }
}
