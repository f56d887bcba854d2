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

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.standlink.ErrorCode;
import org.standlink.StandlinkException;
import org.standlink.process.EventLog;

/**
 * Sees to it that a running program needs its jar no more, which an upgrade may replace and a disk
 * may lose: a class that is first needed then could not be read.
 *
 * <p>The class archive holds all classes of the jar, and the class loader keeps the jar open from
 * the start on, for what the archive may lack.
 *
 * <p>{@code ProgramClasses} is thread-safe and immutable.
 */
final class ProgramClasses {

    /** The log. */
    private static final EventLog LOG = EventLog.of(ProgramClasses.class);

    /** The ending of classes in the jar. */
    private static final String ENDING = ".class";

    /** Any entry of the jar that is always there; looking it up has the loader open the jar. */
    private static final String ANY_ENTRY = "META-INF/MANIFEST.MF";

    /** The start of entries that are no classes of this program. */
    private static final String META = "META-INF/";

    /** No instances. */
    private ProgramClasses() {}

    /** Has the class loader open the jar, which it keeps open as long as the process lives. */
    static void keepJarOpen() {
        if (ProgramClasses.class.getClassLoader().getResource(ANY_ENTRY) == null) {
            // Only the archive is left, which the rehearsal fills with all classes.
            LOG.warning("program-file-not-open").write();
        }
    }

    /**
     * Loads all classes of the jar, so that a class archive written at the end holds them.
     *
     * @return how many were loaded; those that extend what is not there are passed over
     * @throws StandlinkException with code FILE if the jar cannot be read
     */
    static int loadAll() {
        int loaded = 0;
        for (String name : listClasses()) {
            try {
                Class.forName(name, false, ProgramClasses.class.getClassLoader());
                loaded++;
            } catch (ClassNotFoundException | LinkageError optional) {
                LOG.info("class-left-out").with("name", name).with("cause", optional).write();
            }
        }
        return loaded;
    }

    private static List<String> listClasses() {
        try (JarFile jar = new JarFile(locate())) {
            return jar.stream()
                    .map(JarEntry::getName)
                    .filter(name -> name.endsWith(ENDING) && !name.startsWith(META))
                    .filter(name -> !name.endsWith("-info" + ENDING))
                    .map(name -> name.substring(0, name.length() - ENDING.length()))
                    .map(name -> name.replace('/', '.'))
                    .toList();
        } catch (IOException | URISyntaxException unreadable) {
            throw new StandlinkException(
                    ErrorCode.FILE,
                    "the program's jar cannot be read",
                    "run the program from its jar",
                    unreadable);
        }
    }

    private static File locate() throws URISyntaxException {
        return new File(
                ProgramClasses.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    }
}
