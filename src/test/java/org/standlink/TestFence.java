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
package org.standlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests {@link Fence}. */
public class TestFence {

    private static Fence fence(long epoch, long generation) {
        return Fence.of(Epoch.of(epoch), LeaseGeneration.of(generation));
    }

    @Test
    public void comparesTheEpochFirst() {
        assertTrue(fence(2, 0).isAfter(fence(1, 9)));
        assertTrue(fence(2, 2).isAfter(fence(2, 1)));
        assertTrue(!fence(2, 1).isAfter(fence(2, 1)));
        assertTrue(fence(1, 0).isAfter(Fence.NONE));
    }

    @Test
    public void tokensIncreaseWithTheFence() {
        assertEquals(0, Fence.NONE.toToken());
        assertTrue(fence(2, 0).toToken() > fence(1, (1 << 26) - 1).toToken());
        assertTrue(fence(2, 2).toToken() > fence(2, 1).toToken());
    }

    @Test
    public void fencesWithEqualComponentsAreEqual() {
        assertEquals(fence(2, 1), fence(2, 1));
        assertEquals(fence(2, 1).hashCode(), fence(2, 1).hashCode());
        assertNotEquals(fence(2, 1), fence(2, 2));
        assertNotEquals(fence(2, 1), fence(3, 1));
    }

    @Test
    public void rejectsNullComponents() {
        assertThrows(NullPointerException.class, () -> Fence.of(null, LeaseGeneration.NONE));
        assertThrows(NullPointerException.class, () -> Fence.of(Epoch.NONE, null));
    }
}
