package org.cranberrybend.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/** Input of a fuzz test that was corrupted at one place. */
final class MutatedInput {
    private MutatedInput() {}

    /** Replaces a short range by nothing, by a byte, by an insertion or by another part of the input. */
    static byte[] of(byte[] input, List<String> insertions, Random random) {
        int start = random.nextInt(input.length + 1);
        int end = Math.min(input.length, start + (random.nextBoolean() ? 0 : random.nextInt(12)));
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        output.write(input, 0, start);
        switch (random.nextInt(4)) {
            case 0:
                break;
            case 1:
                output.write(random.nextInt(256));
                break;
            case 2:
                String inserted = insertions.get(random.nextInt(insertions.size()));
                output.writeBytes(inserted.getBytes(StandardCharsets.ISO_8859_1));
                break;
            default:
                int from = random.nextInt(input.length + 1);
                output.write(input, from, random.nextInt(input.length - from + 1));
                break;
        }
        output.write(input, end, input.length - end);
        return output.toByteArray();
    }
}
