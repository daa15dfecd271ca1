package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.serving.PromptPart;

/**
 * Estimates which prompt parts each model engine has cached, based on the requests sent to it.
 *
 * <p>Engines are assumed to evict the least recently used parts when their cache is full.
 */
public final class PrefixCacheEstimator {
    private final Map<String, CachedParts> mCachedParts = new HashMap<>();

    /**
     * Records a prompt that an engine processes.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     * @param capacityTokens capacity of the engine's cache, in tokens
     */
    public void recordPrompt(String engine, List<PromptPart> parts, long capacityTokens) {
        CachedParts cached = mCachedParts.computeIfAbsent(engine, name -> new CachedParts());
        parts.forEach(cached::use);
        cached.evict(capacityTokens);
    }

    /**
     * Estimates how much of a prompt is cached at an engine.
     *
     * @param engine name of the engine
     * @param parts parts of the prompt
     * @return number of cached tokens at the beginning of the prompt
     */
    public int cachedTokens(String engine, List<PromptPart> parts) {
        CachedParts cached = mCachedParts.get(engine);
        int tokens = 0;
        if (cached != null) {
            for (PromptPart part : parts) {
                if (!cached.mParts.containsKey(part.id())) {
                    break;
                }
                tokens += part.tokens();
            }
        }
        return tokens;
    }

    /**
     * Removes an engine that no longer exists.
     *
     * @param engine name of the engine
     */
    public void remove(String engine) {
        mCachedParts.remove(engine);
    }

    /** Parts cached at one engine, least recently used first. */
    private static final class CachedParts {
        private static final float LOAD_FACTOR = 0.75f;
        private static final int INITIAL_CAPACITY = 64;

        private final LinkedHashMap<String, Integer> mParts =
                new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
        private long mTokens;

        void use(PromptPart part) {
            Integer previous = mParts.put(part.id(), part.tokens());
            mTokens += part.tokens() - (previous == null ? 0 : previous);
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
