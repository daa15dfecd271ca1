package org.wasabilug.internal.serving;

/** Mean of samples whose weights halve with age. */
final class DecayingMean {
    /** Lasting differences between machines are learned over minutes. */
    private static final double HALF_LIFE_MILLIS = 120_000;

    private double mSum;
    private double mWeight;
    private long mAtMillis;

    /** Samples of one source at one time. */
    record Part(double mean, double weight, long atMillis) {}

    /**
     * Returns the part of a weight that is left after some time.
     *
     * @param ageMillis the time, in milliseconds
     */
    static double decay(long ageMillis) {
        return Math.pow(0.5, Math.max(0, ageMillis) / HALF_LIFE_MILLIS);
    }

    void add(Part part) {
        decayTo(part.atMillis());
        change(part.mean(), part.weight() * decay(mAtMillis - part.atMillis()));
    }

    /** Removes samples that were added before, as far as they still count. */
    void remove(Part part, long nowMillis) {
        decayTo(nowMillis);
        change(part.mean(), -part.weight() * decay(mAtMillis - part.atMillis()));
    }

    private void change(double mean, double weight) {
        mSum += mean * weight;
        mWeight += weight;
        if (mWeight <= 0) {
            mSum = 0;
            mWeight = 0;
        }
    }

    private void decayTo(long nowMillis) {
        double left = decay(nowMillis - mAtMillis);
        mSum *= left;
        mWeight *= left;
        mAtMillis = Math.max(mAtMillis, nowMillis);
    }

    /** Returns the mean of the samples; 0 without any. */
    double mean() {
        return mWeight > 0 ? mSum / mWeight : 0;
    }

    /** Returns the weight of the samples. */
    double weight(long nowMillis) {
        return mWeight * decay(nowMillis - mAtMillis);
    }
}
