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
 * What one process believes about all members, after Das, Gupta, Motivala, "SWIM", DSN 2002.
 *
 * <p>A member that does not answer probes becomes suspect and, unless it refutes in time, dead. A report replaces the
 * known one if its incarnation is higher, or in the same incarnation its count of refutations, or with both equal its
 * state; so reports may arrive in any order and any number of times. Only a member itself raises its count.
 *
 * <p>Dead members are forgotten after a while. Their last report is kept apart, so that a late report of the same run
 * does not bring them back and the run itself learns that it has to refute.
 *
 * <p>Not thread-safe; the owning service holds the membership lock.
 */
public final class MembershipTable {
    /** Bound on forgotten members; twice the 1,900 replacements of a day at the design size. */
    private static final int MAX_FORGOTTEN = 4_096;

    private static final long NOT_SUSPECTED = Long.MIN_VALUE;

    private final MembershipSettings settings;
    private final NavigableMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, Member> forgotten = new LinkedHashMap<>();

    /** Times each recently changed member was passed on; self is included. */
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

    /** Creates the table of a process that knows only itself. */
    public MembershipTable(Member self, MembershipSettings settings, long nowMs) {
        this.self = self;
        this.settings = settings;
        this.lastTickMs = nowMs;
        this.resumedAtMs = nowMs;
        transmissions.put(self.id(), 0);
    }

    /** Returns this process. */
    public Member self() {
        return self;
    }

    /** Returns all live members besides this process, in order of their identifiers. */
    public List<Member> liveOthers() {
        return select(true);
    }

    /** Returns the dead members that are not forgotten yet, in order of their identifiers. */
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

    /** Returns all members, this process and the dead included: the answer to a joining member. */
    public List<Member> all() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        entries.values().forEach(entry -> all.add(entry.member));
        return all;
    }

    /** Returns a member, dead or alive, unless it was forgotten. */
    public Optional<Member> find(String memberId) {
        if (memberId.equals(self.id())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(entries.get(memberId)).map(entry -> entry.member);
    }

    /** Sets the addresses of this process, which are known only after its ports are bound, and starts its clock. */
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
     * Advances the clock: declares suspects dead and forgets dead members.
     *
     * <p>After a pause of this process the suspicions start again, because the refutations may be unread.
     *
     * @return whether this process was paused, so that it must ask for the list of members again
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
                forgetAfterRetention(entry, nowMs);
            } else if (entry.suspectedAtMs != NOT_SUSPECTED && nowMs - entry.suspectedAtMs >= settings.suspicionMs()) {
                put(entry.member.withState(MemberState.DEAD), nowMs);
            }
        }
        return false;
    }

    /** Returns whether the last tick was so long ago that this process must have been paused. */
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
        raiseRefutations(self.refutations() + 1);
        changes.add(new MemberChange(MemberChange.Kind.PAUSED, self));
    }

    private void forgetAfterRetention(Entry entry, long nowMs) {
        if (nowMs - entry.changedAtMs < settings.deadRetentionMs()) {
            return;
        }
        String id = entry.member.id();
        entries.remove(id);
        transmissions.remove(id);
        forgotten.put(id, entry.member);
        if (forgotten.size() > MAX_FORGOTTEN) {
            forgotten.remove(forgotten.keySet().iterator().next());
        }
    }

    /** Takes over a report about a member, unless a newer one is known. */
    public void apply(Member report, long nowMs) {
        if (report.id().equals(self.id())) {
            applyAboutSelf(report);
            return;
        }
        Member known = lastReport(report.id());
        if (known == null || known.isSupersededBy(report)) {
            put(report, nowMs);
        }
    }

    private Member lastReport(String memberId) {
        Entry entry = entries.get(memberId);
        return entry == null ? forgotten.get(memberId) : entry.member;
    }

    private void applyAboutSelf(Member report) {
        if (report.incarnation() > self.incarnation()) {
            if (replaced) {
                return;
            }
            replaced = true;
            changes.add(new MemberChange(MemberChange.Kind.REPLACED, report));
        } else if (report.incarnation() < self.incarnation()) {
            transmissions.putIfAbsent(self.id(), 0);
        } else if (self.isSupersededBy(report)) {
            raiseRefutations(report.refutations() + 1);
            changes.add(new MemberChange(MemberChange.Kind.REFUTED, self));
        }
    }

    private void raiseRefutations(long refutations) {
        self = self.withRefutations(refutations);
        transmissions.put(self.id(), 0);
    }

    private void put(Member report, long nowMs) {
        Member previous = lastReport(report.id());
        forgotten.remove(report.id());
        Entry entry = entries.computeIfAbsent(report.id(), id -> new Entry());
        boolean sameAge = previous != null && previous.hasSameVersion(report);
        boolean keepsSuspicion = sameAge && report.state() == MemberState.LEAVING;
        if (report.state() == MemberState.SUSPECT) {
            entry.suspectedAtMs = nowMs;
        } else if (!keepsSuspicion) {
            entry.suspectedAtMs = NOT_SUSPECTED;
        }
        entry.member = report;
        entry.changedAtMs = nowMs;
        transmissions.put(report.id(), 0);
        addChange(previous, report);
    }

    private void addChange(Member previous, Member report) {
        boolean known = previous != null && previous.incarnation() == report.incarnation();
        boolean wasLive = previous != null && previous.isLive();
        if (!report.isLive()) {
            if (wasLive) {
                changes.add(new MemberChange(MemberChange.Kind.DEAD, report));
            }
            return;
        }
        if (!known) {
            changes.add(new MemberChange(MemberChange.Kind.JOINED, report));
        }
        if (report.state() == MemberState.SUSPECT) {
            changes.add(new MemberChange(MemberChange.Kind.SUSPECTED, report));
        } else if (report.state() == MemberState.LEAVING) {
            changes.add(new MemberChange(MemberChange.Kind.LEAVING, report));
        } else if (known) {
            changes.add(new MemberChange(MemberChange.Kind.RECOVERED, report));
        }
    }

    /**
     * Records that a probe and its indirect probes had no answer.
     *
     * <p>Ignored if the member refuted meanwhile, or if this process was paused since the probe started: then its own
     * pause may be the reason for the missing answer.
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
     * Records that a probe was answered. A leaving member keeps its state while it is suspected, so it cannot refute;
     * its answer ends the suspicion.
     */
    public void probeAnswered(Member probed) {
        Entry entry = entries.get(probed.id());
        if (entry != null && entry.member.state() == MemberState.LEAVING && entry.member.hasSameVersion(probed)) {
            entry.suspectedAtMs = NOT_SUSPECTED;
        }
    }

    /**
     * Returns the reports to add to a message. What is believed about the receiver comes first unless it is alive, so
     * that it can refute; then the changes passed on the fewest times.
     */
    public List<Member> updatesFor(String receiverId, int limit) {
        List<Member> reports = new ArrayList<>();
        Member receiver = lastReport(receiverId);
        if (receiver != null && receiver.state() != MemberState.ALIVE) {
            reports.add(receiver);
        }
        List<Map.Entry<String, Integer>> queue = new ArrayList<>(transmissions.entrySet());
        queue.sort(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()));
        int maxTransmissions = maxTransmissions();
        for (Map.Entry<String, Integer> queued : queue) {
            if (reports.size() >= limit) {
                break;
            }
            String id = queued.getKey();
            if (!id.equals(receiverId)) {
                find(id).ifPresent(reports::add);
                transmissions.merge(id, 1, Integer::sum);
                transmissions.computeIfPresent(id, (key, count) -> count >= maxTransmissions ? null : count);
            }
        }
        return reports;
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

    /** Returns this process and all live members, in order of their identifiers. */
    public List<Member> snapshot() {
        List<Member> members = liveOthers();
        members.add(self);
        members.sort(Comparator.comparing(Member::id));
        return List.copyOf(members);
    }
}
