package org.cranberrybend.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * State of all members as known to one process, after Das, Gupta, Motivala, "SWIM", DSN 2002.
 *
 * <p>A member that does not reply to probes becomes suspect, and dead unless it refutes in time. An update supersedes
 * the known one if its incarnation is higher; in the same incarnation, if its number of refutations is higher; with
 * both equal, if its state overrides the known one. Updates may therefore arrive in any order and repeatedly. Only a
 * member itself increases its number of refutations.
 *
 * <p>Dead members are removed after a retention time. Their last update is kept as a tombstone, so that a late update
 * of the same incarnation does not resurrect them, and so that a process that is still running learns that it has to
 * refute.
 *
 * <p>Not thread-safe; the owning service holds the membership lock.
 */
public final class MembershipTable {
    /** Twice the 1,900 process replacements per day at the design size. */
    private static final int MAX_TOMBSTONES = 4_096;

    private static final long NOT_SUSPECTED = Long.MIN_VALUE;

    private final MembershipSettings settings;
    private final NavigableMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, Member> tombstones = new LinkedHashMap<>();

    /** Number of transmissions of each member whose update is still to be gossiped; includes this process. */
    private final Map<String, Integer> transmissions = new HashMap<>();

    private final List<MemberChange> changes = new ArrayList<>();
    private Member self;
    private long lastTickMs;
    private long resumedAtMs;
    private boolean replaced;

    private static final class Entry {
        private Member member;
        private long suspectedAtMs;
        private long changedAtMs;
    }

    /** Creates a table that contains only this process. */
    public MembershipTable(Member self, MembershipSettings settings, long nowMs) {
        this.self = self;
        this.settings = settings;
        this.lastTickMs = nowMs;
        this.resumedAtMs = nowMs;
        transmissions.put(self.id(), 0);
    }

    /** Returns the member that stands for this process. */
    public Member self() {
        return self;
    }

    /** Returns all live members except this process, ordered by identifier. */
    public List<Member> liveOthers() {
        return select(true);
    }

    /** Returns the dead members within their retention time, ordered by identifier. */
    public List<Member> deadMembers() {
        return select(false);
    }

    private List<Member> select(boolean live) {
        List<Member> selected = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.member.isLive() == live) {
                selected.add(entry.member);
            }
        }
        return selected;
    }

    /** Returns all members including this process and dead ones, as sent in reply to a joining member. */
    public List<Member> all() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        entries.values().forEach(entry -> all.add(entry.member));
        return all;
    }

    /** Returns a member, live or dead, unless it was removed. */
    public Optional<Member> find(String memberId) {
        if (memberId.equals(self.id())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(entries.get(memberId)).map(entry -> entry.member);
    }

    /**
     * Sets the addresses of this process, which are known only after its ports are bound, and resets pause detection.
     */
    public void setAddresses(String peerAddress, String adminAddress, long nowMs) {
        self = new Member(self.identity(), peerAddress, adminAddress, self.state(), self.refutations());
        lastTickMs = nowMs;
        resumedAtMs = nowMs;
    }

    /** Marks this process as leaving. */
    public void leave() {
        self = self.withState(MemberState.LEAVING);
        transmissions.put(self.id(), 0);
    }

    /**
     * Declares suspects dead and removes dead members whose time is over. Called periodically.
     *
     * <p>After a pause of this process all suspicion times start anew, because refutations may have arrived that it has
     * not read yet.
     *
     * @return whether this process was paused, so that it must request the list of members again
     */
    public boolean tick(long nowMs) {
        boolean paused = isPausedAt(nowMs);
        lastTickMs = nowMs;
        if (paused) {
            resume(nowMs);
            return true;
        }
        for (Entry entry : List.copyOf(entries.values())) {
            if (!entry.member.isLive()) {
                removeAfterRetention(entry, nowMs);
            } else if (entry.suspectedAtMs != NOT_SUSPECTED && nowMs - entry.suspectedAtMs >= settings.suspicionMs()) {
                put(entry.member.withState(MemberState.DEAD), nowMs);
            }
        }
        return false;
    }

    /** Returns whether the time since the last tick means that this process was paused. */
    public boolean isPausedAt(long nowMs) {
        return nowMs - lastTickMs > settings.pauseMs();
    }

    private void resume(long nowMs) {
        resumedAtMs = nowMs;
        for (Entry entry : entries.values()) {
            if (entry.suspectedAtMs != NOT_SUSPECTED) {
                entry.suspectedAtMs = nowMs;
            }
        }
        setRefutations(self.refutations() + 1);
        changes.add(new MemberChange(MemberChange.Kind.PAUSED, self));
    }

    private void removeAfterRetention(Entry entry, long nowMs) {
        if (nowMs - entry.changedAtMs < settings.deadRetentionMs()) {
            return;
        }
        String id = entry.member.id();
        entries.remove(id);
        transmissions.remove(id);
        tombstones.put(id, entry.member);
        if (tombstones.size() > MAX_TOMBSTONES) {
            tombstones.remove(tombstones.keySet().iterator().next());
        }
    }

    /** Applies an update about a member, unless it is superseded by the known one. */
    public void apply(Member update, long nowMs) {
        if (update.id().equals(self.id())) {
            applyUpdateAboutSelf(update);
            return;
        }
        Member known = lastUpdate(update.id());
        if (known == null || known.isSupersededBy(update)) {
            put(update, nowMs);
        }
    }

    private Member lastUpdate(String memberId) {
        Entry entry = entries.get(memberId);
        return entry == null ? tombstones.get(memberId) : entry.member;
    }

    private void applyUpdateAboutSelf(Member update) {
        if (update.incarnation() > self.incarnation()) {
            if (replaced) {
                return;
            }
            replaced = true;
            changes.add(new MemberChange(MemberChange.Kind.REPLACED, update));
        } else if (update.incarnation() < self.incarnation()) {
            transmissions.putIfAbsent(self.id(), 0);
        } else if (self.isSupersededBy(update)) {
            setRefutations(update.refutations() + 1);
            changes.add(new MemberChange(MemberChange.Kind.REFUTED, self));
        }
    }

    private void setRefutations(long refutations) {
        self = self.withRefutations(refutations);
        transmissions.put(self.id(), 0);
    }

    private void put(Member update, long nowMs) {
        Member previous = lastUpdate(update.id());
        tombstones.remove(update.id());
        Entry entry = entries.computeIfAbsent(update.id(), id -> new Entry());
        boolean sameVersion = previous != null && previous.hasSameVersion(update);
        boolean keepsSuspicion = sameVersion && update.state() == MemberState.LEAVING;
        if (update.state() == MemberState.SUSPECT) {
            entry.suspectedAtMs = nowMs;
        } else if (!keepsSuspicion) {
            entry.suspectedAtMs = NOT_SUSPECTED;
        }
        entry.member = update;
        entry.changedAtMs = nowMs;
        transmissions.put(update.id(), 0);
        addChange(previous, update);
    }

    private void addChange(Member previous, Member update) {
        boolean known = previous != null && previous.incarnation() == update.incarnation();
        boolean wasLive = previous != null && previous.isLive();
        if (!update.isLive()) {
            if (wasLive) {
                changes.add(new MemberChange(MemberChange.Kind.DEAD, update));
            }
            return;
        }
        if (!known) {
            changes.add(new MemberChange(MemberChange.Kind.JOINED, update));
        }
        if (update.state() == MemberState.SUSPECT) {
            changes.add(new MemberChange(MemberChange.Kind.SUSPECTED, update));
        } else if (update.state() == MemberState.LEAVING) {
            changes.add(new MemberChange(MemberChange.Kind.LEAVING, update));
        } else if (known) {
            changes.add(new MemberChange(MemberChange.Kind.RECOVERED, update));
        }
    }

    /**
     * Records that neither a probe nor its indirect probes were answered.
     *
     * <p>Ignored if a newer version of the member is known by now, or if this process was paused since the probe
     * started, because its own pause may be the reason for the missing reply.
     *
     * @param probed the member as it was when the probe started
     */
    public void probeFailed(Member probed, long startedAtMs, long nowMs) {
        Entry entry = entries.get(probed.id());
        boolean ownPause = isPausedAt(nowMs) || startedAtMs < resumedAtMs;
        if (ownPause || entry == null || !entry.member.hasSameVersion(probed)) {
            return;
        }
        if (entry.member.state() == MemberState.ALIVE) {
            put(entry.member.withState(MemberState.SUSPECT), nowMs);
        } else if (entry.member.state() == MemberState.LEAVING && entry.suspectedAtMs == NOT_SUSPECTED) {
            entry.suspectedAtMs = nowMs;
        }
    }

    /**
     * Records that a probe was answered. A leaving member keeps its state while it is suspected and so does not learn
     * that it has to refute; its reply ends the suspicion instead.
     */
    public void probeAnswered(Member probed) {
        Entry entry = entries.get(probed.id());
        if (entry != null && entry.member.state() == MemberState.LEAVING && entry.member.hasSameVersion(probed)) {
            entry.suspectedAtMs = NOT_SUSPECTED;
        }
    }

    /**
     * Returns the updates to send with a message. If the receiver is not known as alive, the update about it comes
     * first, so that it can refute. The others follow in ascending order of their transmissions.
     */
    public List<Member> updatesFor(String receiverId, int limit) {
        List<Member> updates = new ArrayList<>();
        Member receiver = lastUpdate(receiverId);
        if (receiver != null && receiver.state() != MemberState.ALIVE) {
            updates.add(receiver);
        }
        List<Map.Entry<String, Integer>> queue = new ArrayList<>(transmissions.entrySet());
        queue.sort(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()));
        int maxTransmissions = maxTransmissions();
        for (Map.Entry<String, Integer> queued : queue) {
            if (updates.size() >= limit) {
                break;
            }
            String id = queued.getKey();
            if (!id.equals(receiverId)) {
                find(id).ifPresent(updates::add);
                transmissions.merge(id, 1, Integer::sum);
                transmissions.computeIfPresent(id, (key, count) -> count >= maxTransmissions ? null : count);
            }
        }
        return updates;
    }

    private int maxTransmissions() {
        int memberCount = entries.size() + 1;
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(memberCount);
        return settings.retransmitFactor() * bits;
    }

    /** Returns the changes since the last call, in order. */
    public List<MemberChange> drainChanges() {
        List<MemberChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }

    /** Returns this process and all other live members, ordered by identifier. */
    public List<Member> snapshot() {
        List<Member> members = liveOthers();
        members.add(self);
        members.sort(Comparator.comparing(Member::id));
        return List.copyOf(members);
    }
}
