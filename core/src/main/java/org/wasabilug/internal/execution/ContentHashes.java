package org.wasabilug.internal.execution;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.CallerRequest;

/** Hashes of what a request says, the same at every instance. */
final class ContentHashes {
    private static final int PREFIX_BLOCK_CHARACTERS = 256;
    private static final int MAXIMUM_PREFIX_BLOCKS = 16;

    private ContentHashes() {}

    /** Hash of pipeline and body; the same under whatever id a caller sends them. */
    static long fingerprint(CallerRequest request) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.pipeline().name().value(), StandardCharsets.UTF_8);
        hasher.putChar('\n');
        hasher.putString(request.body(), StandardCharsets.UTF_8);
        return hasher.hash().asLong();
    }

    /** Hashes of growing prefixes of the input, each over the one before and the next block. */
    static List<Long> prefixes(String input) {
        List<Long> hashes = new ArrayList<>();
        long previous = 0;
        for (int start = 0; mayHashBlock(input, start); start += PREFIX_BLOCK_CHARACTERS) {
            previous = hashBlock(previous, input, start);
            hashes.add(previous);
        }
        return hashes;
    }

    private static boolean mayHashBlock(String input, int start) {
        return start + PREFIX_BLOCK_CHARACTERS <= input.length()
                && start < MAXIMUM_PREFIX_BLOCKS * PREFIX_BLOCK_CHARACTERS;
    }

    private static long hashBlock(long previous, String input, int start) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(previous)
                .putUnencodedChars(input.substring(start, start + PREFIX_BLOCK_CHARACTERS))
                .hash()
                .asLong();
    }
}
