package org.cranberrybend.entry.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.routing.RendezvousHash;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Prompts with few and with many parts. */
class PromptTest {
    private static final String SERVICE = "model";
    /** Parts that fit a head of 16,000 bytes. */
    private static final int MANY_PARTS = 1_951;

    private static final int REQUESTS = 400;
    /** A tenth of the callers' share of a heap of 112 MB; objects for each part need 83 MB. */
    private static final long MAX_BYTES = 12L * 1024 * 1024;

    private static List<Prompt.Part> parts(int count, int offset) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Prompt.Part(Integer.toHexString(offset + i), 1 + i))
                .collect(Collectors.toList());
    }

    // Guards against a hash or fingerprints that differ from those of instances of other versions, and against tokens
    // that are counted in the wrong part.
    @ParameterizedTest
    @CsvSource({"0, '', 0, 0, 0", "1, 0/, 0, 1, 0", "2, 0/, 1, 2, 1", "4, 0/1/2/, 6, 4, 3"})
    void lastPartIsUnique(int count, String key, int sharedTokens, int uniqueTokens, int shared) {
        Prompt prompt = Prompt.of(SERVICE, parts(count, 0));
        assertThat(prompt.isEmpty()).isEqualTo(count == 0);
        assertThat(prompt.sharedPrefixHash()).isEqualTo(RendezvousHash.hash("prefix", key));
        assertThat(prompt.sharedPrefixTokens()).isEqualTo(sharedTokens);
        assertThat(prompt.uniqueTokens()).isEqualTo(uniqueTokens);
        assertThat(prompt.tokens()).isEqualTo(sharedTokens + uniqueTokens);
        List<PartFingerprint> fingerprints = parts(shared, 0).stream()
                .map(part -> PartFingerprint.of(SERVICE, part.id()))
                .collect(Collectors.toList());
        assertThat(prompt.partsOfOthers())
                .containsExactlyElementsIn(fingerprints)
                .inOrder();
    }

    // Guards against an instance that ends by OutOfMemoryError with some 400 requests of many parts in progress, each
    // within the limit on the size of a head.
    @Test
    void promptsOfManyPartsFitTheHeap() {
        long before = usedBytes();
        List<Prompt> kept = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            kept.add(Prompt.of(SERVICE, parts(MANY_PARTS, i)));
        }
        assertThat(usedBytes() - before).isAtMost(MAX_BYTES);
        assertThat(kept).hasSize(REQUESTS);
    }

    private static long usedBytes() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            least = Math.min(
                    least,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return least;
    }
}
