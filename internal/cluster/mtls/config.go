package mtls

import (
	"net/netip"

	"fernvane/internal/config/tomlfile"
)

// KeysFromConfig loads the keys that an operator's file names under cert, key and ca, or none where it says plaintext: then all
// addresses must stay on this machine. What is wrong is noted by its line.
func KeysFromConfig(f *tomlfile.File, files Files, plaintext bool, addresses []netip.AddrPort) *Keys {
	if plaintext {
		for _, at := range addresses {
			if err := CheckLoopback(at); at.IsValid() && err != nil {
				f.Wrong("plaintext", "%s: %v", at, err)
			}
		}
		if files != (Files{}) {
			f.Wrong("plaintext", "either plaintext or keys")
		}
		return nil
	}
	for key, v := range map[string]string{"cert": files.Cert, "key": files.Key, "ca": files.CA} {
		if v == "" {
			f.Wrong(key, "%s names no file; cert, key and ca are wanted, or plaintext = true on loopback", key)
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
