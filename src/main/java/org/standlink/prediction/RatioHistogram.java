/*
 *  Copyright 2026 the standlink authors
 *
 *  Licensed under the Apache License, Version 2.0 (the "License");
 *  you may not use this file except in compliance with the License.
 *  You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 *  Unless required by applicable law or agreed to in writing, software
 *  distributed under the License is distributed on an "AS IS" BASIS,
 *  WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 *  See the License for the specific language governing permissions and
 *  limitations under the License.
 */
package org.standlink.prediction;

/**
 * A weighted histogram of ratios, of constant size, with buckets of equal relative width.
 *
 * <p>{@code RatioHistogram} is mutable and not thread-safe.
 */
final class RatioHistogram {

    /**
     * The number of buckets between a ratio and its double. A bucket is 4.4 % wide, a tenth of the
     * error of estimates that are off by half.
     */
    private static final int BUCKETS_PER_DOUBLING = 16;

    /**
     * The number of doublings covered on either side of the centre; ratios beyond a factor of 32
     * count as the nearest bucket, since no decision depends on by how much they are exceeded.
     */
    private static final int DOUBLINGS = 5;

    private static final int CENTRE_BUCKET = DOUBLINGS * BUCKETS_PER_DOUBLING;

    private final double centre;

    private final double[] weights = new double[2 * CENTRE_BUCKET + 1];

    /** The sums of the weights up to each bucket, null if they are to be computed anew. */
    private double[] cumulative;

    /**
     * Creates an empty histogram.
     *
     * @param centre the ratio that is represented exactly; positive
     */
    RatioHistogram(double centre) {
        this.centre = centre;
    }

    /**
     * Adds a ratio.
     *
     * @param ratio the ratio; positive
     * @param weight its weight
     */
    void add(double ratio, double weight) {
        weights[bucketOf(ratio)] += weight;
        cumulative = null;
    }

    /**
     * Scales all weights.
     *
     * @param factor the factor
     */
    void scale(double factor) {
        cumulative = null;
        for (int bucket = 0; bucket < weights.length; bucket++) {
            weights[bucket] *= factor;
        }
    }

    /**
     * Replaces the weights by those of another histogram of the same centre.
     *
     * @param other the other histogram
     */
    void copyFrom(RatioHistogram other) {
        cumulative = null;
        System.arraycopy(other.weights, 0, weights, 0, weights.length);
    }

    /**
     * Returns a quantile.
     *
     * @param share the share of the weight that does not exceed it, 0 to 1
     * @return the quantile, the centre of its bucket
     */
    double quantile(double share) {
        double[] sums = accumulate();
        double threshold = share * sums[sums.length - 1];
        for (int bucket = 0; bucket < sums.length; bucket++) {
            if (sums[bucket] > 0 && sums[bucket] >= threshold) {
                return ratioOf(bucket);
            }
        }
        return centre;
    }

    /**
     * Returns the share of the weight that does not exceed a ratio. The weight of the ratio's own
     * bucket counts half.
     *
     * @param ratio the ratio
     * @return the share, 0 to 1; 0 if the histogram is empty
     */
    double shareWithin(double ratio) {
        double[] sums = accumulate();
        double total = sums[sums.length - 1];
        if (ratio <= 0 || total == 0) {
            return 0;
        }
        int bucket = bucketOf(ratio);
        return (sums[bucket] - weights[bucket] / 2) / total;
    }

    // -----------------------------------------------------------------------
    private double[] accumulate() {
        if (cumulative == null) {
            cumulative = weights.clone();
            for (int bucket = 1; bucket < cumulative.length; bucket++) {
                cumulative[bucket] += cumulative[bucket - 1];
            }
        }
        return cumulative;
    }

    private int bucketOf(double ratio) {
        double doublings = Math.log(ratio / centre) / Math.log(2);
        double bounded = Math.max(-DOUBLINGS, Math.min(DOUBLINGS, doublings));
        return CENTRE_BUCKET + (int) Math.round(bounded * BUCKETS_PER_DOUBLING);
    }

    private double ratioOf(int bucket) {
        return centre * Math.pow(2, (double) (bucket - CENTRE_BUCKET) / BUCKETS_PER_DOUBLING);
    }
}
