package org.wasabilug.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Returns a marker with the stage name and a hash of the input, followed by a number of words.
 *
 * @param words number of words after the marker
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
