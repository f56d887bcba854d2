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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.kohsuke.args4j.Argument;
import org.standlink.bundle.BundleReader;

/** {@code standlink bundle diff}: shows the differences between two bundle files. */
final class BundleDiffCommand implements Command {

    /** The exit code if the bundles differ. */
    private static final int DIFFERENT_EXIT_CODE = 4;

    @Argument(index = 0, required = true, metaVar = "OLD", usage = "a bundle")
    private Path oldFile;

    @Argument(index = 1, required = true, metaVar = "NEW", usage = "a bundle")
    private Path newFile;

    @Override
    public int run() throws JsonProcessingException {
        Map<String, String> before = flatten(TextFiles.read(oldFile));
        Map<String, String> after = flatten(TextFiles.read(newFile));
        TreeSet<String> paths = new TreeSet<>(before.keySet());
        paths.addAll(after.keySet());
        int differences = 0;
        for (String path : paths) {
            String oldValue = before.get(path);
            String newValue = after.get(path);
            if (oldValue != null && oldValue.equals(newValue)) {
                continue;
            }
            differences++;
            System.out.println(formatDifference(path, oldValue, newValue));
        }
        System.out.println(differences + " differences");
        return differences == 0 ? 0 : DIFFERENT_EXIT_CODE;
    }

    private static String formatDifference(String path, String oldValue, String newValue) {
        if (oldValue == null) {
            return "+ " + path + " = " + newValue;
        }
        return newValue == null
                ? "- " + path + " = " + oldValue
                : "~ " + path + " = " + oldValue + " -> " + newValue;
    }

    private static Map<String, String> flatten(String text) throws JsonProcessingException {
        BundleReader.read(text);
        Map<String, String> flat = new TreeMap<>();
        flatten("", new ObjectMapper().readTree(text), flat);
        return flat;
    }

    private static void flatten(String path, JsonNode node, Map<String, String> flat) {
        if (node.isObject()) {
            node.fields()
                    .forEachRemaining(
                            field -> flatten(path + "/" + field.getKey(), field.getValue(), flat));
        } else if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "[" + nameOf(node.get(i), i) + "]", node.get(i), flat);
            }
        } else {
            flat.put(path, node.toString());
        }
    }

    private static String nameOf(JsonNode element, int index) {
        for (String key : new String[] {"id", "vm", "job"}) {
            if (element.hasNonNull(key)) {
                return element.get(key).asText();
            }
        }
        return Integer.toString(index);
    }
}
