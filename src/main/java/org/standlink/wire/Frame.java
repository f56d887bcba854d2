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
package org.standlink.wire;

/**
 * A message with the number of its call.
 *
 * <p>{@code Frame} is thread-safe and immutable.
 *
 * @param call the number of the call, 0 for a message that has no answer
 * @param answer whether the message is the answer to the call
 * @param message the message
 */
public record Frame(long call, boolean answer, Message message) {}
