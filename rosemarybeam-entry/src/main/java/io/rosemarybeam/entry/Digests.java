package io.rosemarybeam.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.decision.step.StepInput.StepKey;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;

/** Computes digests of texts and prompts. Stateless and safe for use by several threads. */
final class Digests {
    private static final int MINIMUM_PREFIX_CHARACTERS = 64;
    private static final int MAXIMUM_PREFIXES = 12;

    private Digests() {}

    static String text(String text) {
        return DigestUtils.sha256Hex(text);
    }

    /**
     * Returns hashes of prefixes of a prompt, whose lengths start at {@value #MINIMUM_PREFIX_CHARACTERS} characters and
     * double, and of the entire prompt. The shortest prefix comes first.
     */
    static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        int length = MINIMUM_PREFIX_CHARACTERS;
        while (length < prompt.length() && hashes.size() < MAXIMUM_PREFIXES) {
            hashes.add(hash(prompt.substring(0, length)));
            length *= 2;
        }
        hashes.add(hash(prompt));
        return hashes;
    }

    /**
     * Returns the sampling seed of a sample. All attempts of a sample use the same seed: with a seed for each attempt
     * they would generate different texts, and the first one to complete, which wins, would tend to be the shortest.
     *
     * @param step the step
     * @param index index of the sample
     * @return a non-negative number
     */
    static int seed(StepKey step, int index) {
        byte[] name = (step.trainer() + "/" + step.step() + "/" + index).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(name) & Integer.MAX_VALUE;
    }

    private static long hash(String prefix) {
        return MurmurHash3.hash128x64(prefix.getBytes(StandardCharsets.UTF_8))[0];
    }
}
