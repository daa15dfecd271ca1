package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which failure domains this instance seems to be cut off from.
 *
 * <p>Several endpoints of a domain that give no sign of life, with none that answers between, are
 * taken for a cut. After a while the domain is tried again.
 */
public final class DomainReachability {
    private static final int SILENCES_OF_A_CUT = 3;
    private static final int SILENCES_WITHOUT_PEERS = 2;
    private static final long CUT_MILLIS = 1_500;

    private final Map<String, State> mDomains = new HashMap<>();

    /** Silences since the last answer, and until when the domain is passed over. */
    private static final class State {
        private int mSilences;
        private long mCutUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Notes that an endpoint gave no sign of life.
     *
     * @param domain its failure domain
     * @param nowMillis now
     * @return true where the domain is now taken to be cut off
     */
    public boolean silent(String domain, long nowMillis) {
        State state = mDomains.computeIfAbsent(domain, name -> new State());
        state.mSilences++;
        if (state.mSilences < SILENCES_OF_A_CUT) {
            return false;
        }
        boolean wasCut = nowMillis < state.mCutUntilMillis;
        state.mCutUntilMillis = nowMillis + CUT_MILLIS;
        state.mSilences = SILENCES_WITHOUT_PEERS;
        return !wasCut;
    }

    /**
     * Notes that no instance of a domain is heard any more; one silent endpoint then suffices.
     *
     * @param domain the failure domain
     */
    public void peersLost(String domain) {
        State state = mDomains.computeIfAbsent(domain, name -> new State());
        state.mSilences = Math.max(state.mSilences, SILENCES_WITHOUT_PEERS);
    }

    /**
     * Notes that an endpoint answered.
     *
     * @param domain its failure domain
     */
    public void answered(String domain) {
        mDomains.remove(domain);
    }

    /**
     * Tells whether a domain should be passed over.
     *
     * @param domain the failure domain
     * @param nowMillis now
     * @return true while it seems to be cut off
     */
    public boolean cutOff(String domain, long nowMillis) {
        State state = mDomains.get(domain);
        return state != null && nowMillis < state.mCutUntilMillis;
    }
}
