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
package org.standlink.command;

import java.io.IOException;
import java.nio.file.Path;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;

/**
 * Reads and writes small text files; failures are {@link StandlinkException}s.
 *
 * <p>{@code TextFiles} is thread-safe and immutable.
 */
final class TextFiles {

    private TextFiles() {}

    /**
     * Reads a file.
     *
     * @param path the file
     * @return its text
     * @throws StandlinkException with code FILE if it cannot be read
     */
    static String read(Path path) {
        try {
            return java.nio.file.Files.readString(path);
        } catch (IOException failure) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "cannot read '" + path + "'",
                    "check that the file is there and may be read",
                    failure);
        }
    }

    /**
     * Writes a file.
     *
     * @param path the file
     * @param text its text
     * @throws StandlinkException with code FILE if it cannot be written
     */
    static void write(Path path, String text) {
        try {
            java.nio.file.Files.writeString(path, text);
        } catch (IOException failure) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "cannot write '" + path + "'",
                    "check that the folder exists and is writable",
                    failure);
        }
    }
}
