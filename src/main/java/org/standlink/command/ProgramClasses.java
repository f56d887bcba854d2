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
 * Makes a running program independent of its jar, which an upgrade may replace and a disk failure
 * may destroy: a class that is needed for the first time after that could not be read.
 *
 * <p>The class archive contains all classes of the jar. For classes that the archive may lack, the
 * class loader keeps the jar open from the start.
 *
 * <p>{@code ProgramClasses} is thread-safe and immutable.
 */
final class ProgramClasses {

    private static final EventLog LOG = EventLog.of(ProgramClasses.class);

    /** The suffix of class files in the jar. */
    private static final String CLASS_SUFFIX = ".class";

    /** An entry that every jar contains; looking it up makes the class loader open the jar. */
    private static final String ANY_ENTRY = "META-INF/MANIFEST.MF";

    /** The prefix of entries that are not classes of this program. */
    private static final String META_PREFIX = "META-INF/";

    private ProgramClasses() {}

    /** Makes the class loader open the jar, which it then keeps open until the process ends. */
    static void keepJarOpen() {
        if (ProgramClasses.class.getClassLoader().getResource(ANY_ENTRY) == null) {
            // Only the archive remains, which contains all classes after a rehearsal.
            LOG.warning("program-file-not-open").write();
        }
    }

    /**
     * Loads all classes of the jar, so that a class archive written at exit contains them.
     *
     * @return the number of loaded classes; those with a missing supertype are skipped
     * @throws StandlinkException with code FILE if the jar cannot be read
     */
    static int loadAll() {
        int loaded = 0;
        for (String name : listClasses()) {
            try {
                Class.forName(name, false, ProgramClasses.class.getClassLoader());
                loaded++;
            } catch (ClassNotFoundException | LinkageError notLoadable) {
                LOG.info("class-left-out").with("name", name).with("cause", notLoadable).write();
            }
        }
        return loaded;
    }

    private static List<String> listClasses() {
        try (JarFile jar = new JarFile(locateJar())) {
            return jar.stream()
                    .map(JarEntry::getName)
                    .filter(name -> name.endsWith(CLASS_SUFFIX) && !name.startsWith(META_PREFIX))
                    .filter(name -> !name.endsWith("-info" + CLASS_SUFFIX))
                    .map(name -> name.substring(0, name.length() - CLASS_SUFFIX.length()))
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

    private static File locateJar() throws URISyntaxException {
        return new File(
                ProgramClasses.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    }
}
