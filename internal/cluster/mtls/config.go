package mtls

import (
	"net/netip"

	"fernvane/internal/config/tomlfile"
)

// KeysFromConfig loads the keys that an operator's file names under cert, key and ca. It returns nil where the file says
// plaintext, for which all addresses must be loopback ones, and where something is wrong, which f notes by its line.
func KeysFromConfig(f *tomlfile.File, files Files, isPlaintext bool, addresses []netip.AddrPort) *Keys {
	if isPlaintext {
		checkPlaintext(f, files, addresses)
		return nil
	}
	for _, file := range []struct {
		key  string
		path string
	}{
		{"cert", files.Cert},
		{"key", files.Key},
		{"ca", files.CA},
	} {
		if file.path == "" {
			f.Wrong(file.key, "%s names no file; cert, key and ca are wanted, or plaintext = true on loopback", file.key)
			return nil
		}
	}
	keys, err := LoadKeys(files)
	if err != nil {
		f.Wrong("cert", "%v", err)
		return nil
	}
	return keys
}

func checkPlaintext(f *tomlfile.File, files Files, addresses []netip.AddrPort) {
	for _, address := range addresses {
		if err := CheckLoopback(address); address.IsValid() && err != nil {
			f.Wrong("plaintext", "%s: %v", address, err)
		}
	}
	if files != (Files{}) {
		f.Wrong("plaintext", "plaintext excludes cert, key and ca")
	}
}
