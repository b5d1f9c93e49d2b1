package io.rosemarybeam.testbed;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The text that every stand-in engine generates for a prompt, so that a caller can check that it received the whole answer
 * to its own prompt. Stateless and safe for use by several threads.
 */
public final class GeneratedText {
    private static final int VOCABULARY = 10_000;
    private static final int MINIMUM_LENGTH_PERCENT = 25;
    private static final int PROMPTS_PER_FULL_LENGTH = 16;

    private GeneratedText() {}

    /**
     * Returns how many tokens the answer to a prompt has: most are short, one in sixteen takes the whole limit.
     *
     * @param prompt the prompt
     * @param maximumTokens the limit that the request names
     * @return 1 to the limit
     */
    public static int length(String prompt, int maximumTokens) {
        int hash = hash(prompt, -1);
        if (hash % PROMPTS_PER_FULL_LENGTH == 0) {
            return maximumTokens;
        }
        int percent = MINIMUM_LENGTH_PERCENT + hash % MINIMUM_LENGTH_PERCENT;
        return Math.max(1, maximumTokens * percent / 100);
    }

    /**
     * Returns one token.
     *
     * @param prompt the prompt
     * @param position position of the token, from 0
     * @return the token with a trailing space
     */
    public static String token(String prompt, int position) {
        return "t" + hash(prompt, position) % VOCABULARY + " ";
    }

    /**
     * Returns the whole answer.
     *
     * @param prompt the prompt
     * @param maximumTokens the limit that the request names
     * @return all tokens
     */
    public static String completion(String prompt, int maximumTokens) {
        StringBuilder text = new StringBuilder();
        int length = length(prompt, maximumTokens);
        for (int position = 0; position < length; position++) {
            text.append(token(prompt, position));
        }
        return text.toString();
    }

    private static int hash(String prompt, int position) {
        byte[] bytes = (prompt + '|' + position).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes) & Integer.MAX_VALUE;
    }
}
