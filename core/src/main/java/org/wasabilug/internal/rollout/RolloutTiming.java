package org.wasabilug.internal.rollout;

/**
 * Times of a service that a rollout has to respect, in milliseconds.
 *
 * @param longestRequestMillis longest time that a request of the service may take
 * @param resultMillis time for which its endpoints hold results that other endpoints read; 0 unless
 *     it runs stages
 */
public record RolloutTiming(long longestRequestMillis, long resultMillis) {}
