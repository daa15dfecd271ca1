package org.wasabilug.port;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Hashes of successively longer prefixes of an input, which identify prefixes in cache events. */
public final class PrefixHashes {
    /** Difference in length between successive prefixes, in characters. */
    public static final int BLOCK_CHARACTERS = 256;

    /** Maximum number of prefixes that are hashed per input. */
    public static final int MAXIMUM_BLOCKS = 64;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private PrefixHashes() {}

    /**
     * Hashes the prefixes that consist of complete blocks.
     *
     * @param input input of a stage
     * @return one hash per prefix, shortest first; empty if the input is shorter than a block
     */
    public static List<Long> of(String input) {
        int blocks = Math.min(MAXIMUM_BLOCKS, input.length() / BLOCK_CHARACTERS);
        List<Long> hashes = new ArrayList<>(blocks);
        long previous = 0;
        for (int block = 0; block < blocks; block++) {
            int start = block * BLOCK_CHARACTERS;
            previous =
                    HASH.newHasher()
                            .putLong(previous)
                            .putString(
                                    input.substring(start, start + BLOCK_CHARACTERS),
                                    StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
            hashes.add(previous);
        }
        return hashes;
    }
}
