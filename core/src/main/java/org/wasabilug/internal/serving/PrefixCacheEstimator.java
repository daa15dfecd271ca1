package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.PromptPart;

/**
 * Estimates which parts of prompts each model engine keeps, from the requests that were sent there.
 *
 * <p>An engine keeps parts until newer ones need the room; the least recently used go first.
 */
public final class PrefixCacheEstimator {
    private final Map<String, Kept> mKept = new HashMap<>();

    /**
     * Notes a request that reads its prompt at an engine.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     * @param capacityTokens tokens that the engine keeps at most
     */
    public void recordPrompt(String engine, List<PromptPart> parts, long capacityTokens) {
        Kept kept = mKept.computeIfAbsent(engine, name -> new Kept());
        parts.forEach(kept::use);
        kept.evict(capacityTokens);
    }

    /**
     * Estimates how much of a prompt an engine need not read again.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     * @return tokens at the beginning of the prompt
     */
    public int cachedTokens(String engine, List<PromptPart> parts) {
        Kept kept = mKept.get(engine);
        int tokens = 0;
        if (kept != null) {
            for (PromptPart part : parts) {
                if (!kept.mParts.containsKey(part.id())) {
                    break;
                }
                tokens += part.tokens();
            }
        }
        return tokens;
    }

    /**
     * Forgets an engine that is gone.
     *
     * @param engine its name
     */
    public void remove(String engine) {
        mKept.remove(engine);
    }

    /** Parts at one engine, least recently used first. */
    private static final class Kept {
        private static final float LOAD_FACTOR = 0.75f;
        private static final int FIRST_CAPACITY = 64;

        private final LinkedHashMap<String, Integer> mParts =
                new LinkedHashMap<>(FIRST_CAPACITY, LOAD_FACTOR, true);
        private long mTokens;

        void use(PromptPart part) {
            Integer known = mParts.put(part.id(), part.tokens());
            mTokens += part.tokens() - (known == null ? 0 : known);
        }

        void evict(long capacityTokens) {
            Iterator<Integer> oldest = mParts.values().iterator();
            while (mTokens > capacityTokens && oldest.hasNext()) {
                mTokens -= oldest.next();
                oldest.remove();
            }
        }
    }
}
