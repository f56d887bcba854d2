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

/** What became of a request. */
public enum Outcome {
    /** The upstream ran the request and its whole answer is here. */
    ANSWERED("answered"),
    /** The request did not run and never will under this id. */
    NOT_RUN("not-run"),
    /** The request may have run, may be running, or may not have run. */
    UNKNOWN("unknown");

    /** The text told to callers. */
    private final String text;

    /**
     * Constructor.
     *
     * @param text the text told to callers
     */
    Outcome(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
