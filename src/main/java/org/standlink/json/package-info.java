/** Reading of JSON files with a check of every key; all errors are reported together. */
package org.standlink.json;
