package org.wasabilug.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Answers with a mark of stage and input, then as many words as were asked for.
 *
 * @param words words after the mark
 */
public record WordAnswer(int words) implements StageBehaviour {
    @Override
    public String answer(String stage, String input) {
        String hash = Hashing.murmur3_128().hashString(input, StandardCharsets.UTF_8).toString();
        String tail =
                IntStream.range(0, words)
                        .mapToObj(number -> " word" + number)
                        .collect(Collectors.joining());
        return "[" + stage + ":" + hash + "]" + tail;
    }
}
