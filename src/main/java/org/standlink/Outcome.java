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

/** The outcome of a request. */
public enum Outcome {
    /** The upstream executed the request, and its answer was received in full. */
    ANSWERED("answered"),
    /** The request was not executed and never will be under this id. */
    NOT_RUN("not-run"),
    /** The request may have been executed, may be in execution, or may not have been executed. */
    UNKNOWN("unknown");

    /** The text that callers receive. */
    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
