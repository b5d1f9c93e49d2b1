package io.rosemarybeam.testbed;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The deterministic text that every stand-in engine generates for a prompt. A caller can compute it too and so check that it
 * received the complete answer to its own prompt. Stateless and safe for use by several threads.
 */
public final class GeneratedText {
    private static final int VOCABULARY = 10_000;

    /** Shortest answer, as a share of the token limit; also the width of the range from which lengths are drawn. */
    private static final int MINIMUM_LENGTH_PERCENT = 25;

    /** One prompt in this number has an answer as long as the token limit, as the long tail of real completions does. */
    private static final int PROMPTS_PER_FULL_LENGTH = 16;

    private GeneratedText() {}

    /**
     * Returns the number of tokens in the answer to a prompt. Most answers take 25 to 49 percent of the limit, one in
     * sixteen takes all of it.
     *
     * @param prompt the prompt
     * @param maximumTokens token limit of the request
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
     * @param position position of the token in the answer, from 0
     * @return the token with a trailing space
     */
    public static String token(String prompt, int position) {
        return "t" + hash(prompt, position) % VOCABULARY + " ";
    }

    /**
     * Returns the complete answer to a prompt.
     *
     * @param prompt the prompt
     * @param maximumTokens token limit of the request
     * @return all tokens of the answer
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
